// Finds out whether the caller of a served request is still connected.
#pragma once

#include <string>

namespace savory {

// False when the connection from `remote_address`:`remote_port` to `local_port` is closed or its
// peer has closed it. The HTTP library does not show its sockets to handlers, so this looks through
// the process's descriptors: call it only for requests that have been waiting for a while.
bool IsCallerConnected(const std::string& remote_address, int remote_port, int local_port);

}  // namespace savory
