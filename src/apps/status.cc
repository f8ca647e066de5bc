#include "apps/status.h"

#include <nlohmann/json.hpp>
#include <sstream>

#include "membership/member_update.h"

namespace savory {
namespace {

// Returns hexadecimal digits, or an empty string for the zero digest.
std::string DigestText(const Digest& digest) { return digest.IsZero() ? "" : digest.Hex(); }

std::string EscapeHtml(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (c == '<') {
      escaped += "&lt;";
    } else if (c == '&') {
      escaped += "&amp;";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

nlohmann::ordered_json RolloutJson(const RolloutStatus& rollout) {
  return {{"phase", PhaseName(rollout.phase)},
          {"wanted", DigestText(rollout.wanted)},
          {"serving", DigestText(rollout.serving)},
          {"bytes", rollout.bytes},
          {"total_bytes", rollout.total_bytes},
          {"origin_bytes", rollout.origin_bytes},
          {"detail", rollout.detail}};
}

void RenderRow(std::ostream& out, const Member& member) {
  out << "<tr><td>" << EscapeHtml(member.vm) << "<td>"
      << (member.role == MemberRole::kAgent ? "agent" : "entry") << "<td>"
      << EscapeHtml(member.service) << "<td>" << EscapeHtml(member.region) << "<td>"
      << EscapeHtml(member.data_centre) << "<td>" << MemberStateName(member.state) << "<td>"
      << member.tables_revision << "<td>" << (member.ready ? "yes" : "no") << "<td>"
      << DigestText(member.loaded_manifest) << "</tr>\n";
}

}  // namespace

std::string RenderStatus(const NodeIdentity& identity, const MembershipDriver& members,
                         const ProcessStatus& status) {
  nlohmann::ordered_json json = {{"vm", identity.vm},
                                 {"role", identity.agent ? "agent" : "entry"},
                                 {"region", identity.region},
                                 {"data_centre", identity.data_centre},
                                 {"service", identity.service},
                                 {"tables_revision", status.tables_revision},
                                 {"leaving", status.leaving},
                                 {"ready", status.ready},
                                 {"members", members.Members().size()}};
  if (identity.agent) json["rollout"] = RolloutJson(status.rollout);
  return json.dump() + "\n";
}

std::string RenderFleetPage(const MembershipDriver& members) {
  std::ostringstream out;
  out << "<!doctype html><title>savoryrouter</title><table border=1><tr><th>VM<th>role<th>service"
         "<th>region<th>data centre<th>state<th>tables<th>ready<th>serves</tr>\n";
  for (const Member& member : members.Members()) RenderRow(out, member);
  out << "</table>\n";
  return out.str();
}

}  // namespace savory
