#pragma once

/// JSON-RPC 2.0 methods between the system's processes; see Messages.h.
namespace foxtailbarrow {

// Served by an entry.
inline constexpr char kHeartbeatMethod[] = "agent.heartbeat";
inline constexpr char kJobChangedMethod[] = "entry.jobChanged";
inline constexpr char kExplainJobMethod[] = "entry.explainJob";
inline constexpr char kListJobsMethod[] = "entry.listJobs";

// Served by an entry for other entries; see Ownership.h.
inline constexpr char kAttestMethod[] = "entry.attest";
inline constexpr char kPromiseMethod[] = "entry.promise";

// Served by an agent.
inline constexpr char kAssignMethod[] = "agent.assign";
inline constexpr char kControlMethod[] = "agent.control";
inline constexpr char kRevokeMethod[] = "agent.revoke";

} // namespace foxtailbarrow
