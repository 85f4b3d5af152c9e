#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/cell/JobRequest.h"

/// A caller's request on its way to another scheduler: one that the store
/// refuses or does not answer asks one that it serves.
namespace foxtailbarrow::cell {

enum class ForwardedKind : std::uint8_t
{
  Submit,
  Read,
  Cancel,
  Count,
};

std::string_view ToString(ForwardedKind aKind);

/// `cell.forward`
struct ForwardedRequest
{
  ForwardedKind mKind = ForwardedKind::Read;
  JobId mJob;                   ///< Of Read and Cancel.
  std::vector<JobGraph> mGraph; ///< One of Submit.
  QueueId mQueue;               ///< Of Count.
  Duration mTimeout{};
};

enum class ForwardedOutcome : std::uint8_t
{
  Accepted,
  Shown,
  Cancelled,
  Counted,
  NoSuchJob,
  NotRun,  ///< Refused: nothing was done and nothing will be.
  InDoubt, ///< It may have been done.
};

std::string_view ToString(ForwardedOutcome aOutcome);

struct ForwardedReply
{
  ForwardedOutcome mOutcome = ForwardedOutcome::InDoubt;
  JobPhase mPhase = JobPhase::Queued; ///< Of Shown.
  std::int64_t mWaiting = 0;          ///< Of Counted.
  std::string mMessage;               ///< Of NotRun and InDoubt.
  /// Of the newest owner that the answering process knows of; 0 = it has seen
  /// none since it started.
  Generation mGeneration = 0;
};

inline constexpr std::string_view kForwardMethod = "cell.forward";

ForwardedRequest ToForwarded(const JobRequest& aRequest);
/// An empty Submit becomes a request that is refused as bad.
JobRequest FromForwarded(const ForwardedRequest& aRequest);
ForwardedReply ToForwarded(const JobAnswer& aAnswer);
JobAnswer FromForwarded(const ForwardedReply& aReply);

/// True when another scheduler may do better: nothing was done here, and the
/// cause lies between this process and the store.
bool ShouldForward(const JobAnswer& aAnswer);

} // namespace foxtailbarrow::cell
