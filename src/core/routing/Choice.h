#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "src/core/routing/RoutableAgent.h"

namespace foxtailbarrow {

/// An agent that must promise by `agent.revoke` not to run the request.
struct RevokeTarget
{
  RoutableAgentPointer mAgent;

  /// If it answers that it had promised before, the request may have run on an
  /// agent that is not asked: refuse with Reason::KeyHolderLost.
  bool mMustBeFirstPromise = false;
};

struct Picked
{
  RoutableAgentPointer mAgent; ///< Keeps its routing table alive.

  /// The request may be sent to mAgent only after each of these answered
  /// NotRun. Used only for keyed requests while agents change or are busy.
  std::vector<RevokeTarget> mRevokeFirst;

  /// True for the single request that probes an ejected agent.
  bool mIsProbe = false;
};

/// No agent can take the request: answer it now.
struct NoChoice
{
  Reason mReason = Reason::NoBackendServer;
  Verdict mVerdict = Verdict::NotRun; ///< Without earlier attempts.

  /// Delay before a new attempt; none when the caller must first find out
  /// whether its request ran.
  std::optional<Duration> mRetryAfter;
};

using Choice = std::variant<Picked, NoChoice>;

} // namespace foxtailbarrow
