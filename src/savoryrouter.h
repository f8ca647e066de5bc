// The public headers in reading order: read this file from top to bottom to learn the system.
#pragma once

// Basic types, error kinds, settings.
#include "base/digest.h"
#include "base/error.h"
#include "base/histogram.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/settings.h"
#include "base/time.h"

// The event loop, one for each process, and all network I/O: no other module does its own.
#include "runtime/event_loop.h"
#include "runtime/http_client.h"
#include "runtime/http_server.h"
#include "runtime/kv_client.h"
#include "runtime/node.h"
#include "runtime/peer_transport.h"
#include "runtime/workers.h"

// Route table, pool table and fleet membership.
#include "membership/membership_driver.h"
#include "tables/pool_members.h"
#include "tables/table_driver.h"

// Distribution of weights to the VMs of a pool.
#include "distribution/distribution_driver.h"

// Requests that end the upstreams that run them.
#include "crashes/crash_registry.h"
#include "crashes/upstream_end_detector.h"

// Requests: claims that ensure execution at most once, the agent's side, the entry's side.
#include "claims/claim_driver.h"
#include "gate/gate_driver.h"
#include "routing/entry_driver.h"

// What may go where, and who gets the room when there is too little.
#include "admission/admission.h"
#include "placement/placement.h"

// Deployment on the users' platform: records of its store, requests that are sent directly to
// upstreams, and the entry and agent processes. The platform adapter is in platform/.
#include "direct/agent.h"
#include "direct/entry.h"
#include "distribution/engine_control.h"
#include "fleet/agent_links.h"
#include "fleet/entry_links.h"
#include "records/record_store.h"
#include "records/record_sync.h"
#include "relay/dispatcher.h"
#include "relay/relay.h"
#include "relay/relay_codec.h"
#include "runtime/async_http_server.h"
#include "runtime/http_connection_pool.h"
