#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "src/core/routing/RoutableAgent.h"

namespace foxtailbarrow {

/// An agent to ask by `agent.revoke` whether a request ran there.
struct RevokeTarget
{
  RoutableAgentPointer mAgent;

  /// Where it answers that it promised before, the request may have run at an
  /// agent that is not asked: refuse with Reason::KeyHolderLost.
  bool mMustBeFirstPromise = false;
};

struct Picked
{
  RoutableAgentPointer mAgent; ///< Keeps its whole routing table alive.

  /// The request may go to mAgent only when each of these answered NotRun.
  /// Empty but for keyed requests when agents change or are busy.
  std::vector<RevokeTarget> mRevokeFirst;

  /// The one request that tries an ejected agent again.
  bool mIsProbe = false;
};

/// Nothing to send the request to: it is answered now.
struct NoChoice
{
  Reason mReason = Reason::NoBackendServer;
  Verdict mVerdict = Verdict::NotRun; ///< Earlier attempts not counted.

  /// When a new attempt makes sense; none when the caller must find out first
  /// whether its request ran.
  std::optional<Duration> mRetryAfter;
};

using Choice = std::variant<Picked, NoChoice>;

} // namespace foxtailbarrow
