#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/cell/JobRequest.h"

/// Forwarding of a caller's request: a scheduler that cannot reach the store
/// passes it to one that can.
namespace foxtailbarrow::cell {

enum class ForwardedKind : std::uint8_t
{
  Submit,
  Read,
  Cancel,
  Count,
};

std::string_view ToString(ForwardedKind aKind);

/// Request of the `cell.forward` method.
struct ForwardedRequest
{
  ForwardedKind mKind = ForwardedKind::Read;
  JobId mJob;                   ///< With Read and Cancel.
  std::vector<JobGraph> mGraph; ///< One with Submit.
  QueueId mQueue;               ///< With Count.
  Duration mTimeout{};
};

enum class ForwardedOutcome : std::uint8_t
{
  Accepted,
  Shown,
  Cancelled,
  Counted,
  NoSuchJob,
  NotRun,  ///< Refused: it was not done and will not be.
  InDoubt, ///< It may have been done.
};

std::string_view ToString(ForwardedOutcome aOutcome);

struct ForwardedReply
{
  ForwardedOutcome mOutcome = ForwardedOutcome::InDoubt;
  JobPhase mPhase = JobPhase::Queued; ///< With Shown.
  std::int64_t mWaiting = 0;          ///< With Counted.
  std::string mMessage;               ///< With NotRun and InDoubt.
  /// Newest owner known to the answering process; 0 = it has seen none since it
  /// started.
  Generation mGeneration = 0;
};

inline constexpr std::string_view kForwardMethod = "cell.forward";

ForwardedRequest ToForwarded(const JobRequest& aRequest);
/// A Submit without a graph becomes an empty job, which is refused as invalid.
JobRequest FromForwarded(const ForwardedRequest& aRequest);
ForwardedReply ToForwarded(const JobAnswer& aAnswer);
JobAnswer FromForwarded(const ForwardedReply& aReply);

/// True when another scheduler may succeed: nothing was done here, and the
/// cause lies between this process and the store.
bool ShouldForward(const JobAnswer& aAnswer);

} // namespace foxtailbarrow::cell
