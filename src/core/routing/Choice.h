#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "src/core/routing/RoutableAgent.h"

namespace foxtailbarrow {

struct Picked
{
  RoutableAgentPointer mAgent; ///< Keeps its whole routing table alive.

  /// Agents to ask by `agent.revoke` first; the request may go to mAgent only
  /// when each answered NotRun. Empty but for keyed requests soon after a
  /// change of membership.
  std::vector<RoutableAgentPointer> mAskFirst;

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
