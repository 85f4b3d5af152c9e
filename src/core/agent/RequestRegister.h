#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"

namespace foxtailbarrow {

struct RequestRegisterLimits
{
  /// Maximum number of stored ids of requests that ran.
  std::size_t mMaxFinished = 65'536;
  /// How long ids of requests that ran are stored after their end.
  Duration mFinishedRetention = std::chrono::seconds(60);
  /// Maximum number of revoked ids; beyond it, Revoke() returns MayHaveRun.
  std::size_t mMaxRevoked = 8'192;
  /// How long revoked ids are refused.
  Duration mRevokedRetention = std::chrono::minutes(10);
};

/// Result of RequestRegister::Begin().
enum class RequestAdmission : std::uint8_t
{
  Admitted,   ///< Unknown id: run it and call Finish().
  InProgress, ///< Running: refuse with MayHaveRun.
  Finished,   ///< Ran or may have run: refuse with MayHaveRun.
  Revoked,    ///< Revoke() returned NotRun: refuse with NotRun.
};

/// Records which requests this agent admitted, so that the verdicts it reports
/// stay true.
///
/// Guarantees that an id is admitted at most once while it is stored, and that
/// an id for which Revoke() returned NotRun is not admitted for
/// `mRevokedRetention`. Revoke() returns NotRun only if the register certainly
/// never admitted the id. It keeps the time before which it may have dropped
/// ids: its own start, or the end of the newest request that was dropped by age
/// or by the size limit. An unknown id that may be older gets MayHaveRun. So a
/// full register, a restart or a late Revoke() costs a retry, never a second
/// run.
///
/// An id that ended NotRun is removed, so that a caller who received a retry
/// time can retry with the same id. That is safe because the refusal consumed
/// the only copy that was sent to this agent.
///
/// Thread-safe; 64 shards with a mutex each.
class RequestRegister
{
public:
  /// `aStart` is the start of the process; ids sent before it are unknown.
  RequestRegister(RequestRegisterLimits aLimits, Instant aStart);

  RequestAdmission Begin(const RequestId& aRequest, Instant aNow);

  /// Ends a request that Begin() admitted. NotRun means that it never reached
  /// the backend server.
  void Finish(const RequestId& aRequest, Verdict aVerdict, Instant aNow);

  /// Reports whether the request ran, `aAge` after the entry sent it. After
  /// NotRun, the id is refused. The entry must discard an answer that arrives
  /// more than kRevokeTransit after the revocation was sent.
  Verdict Revoke(const RequestId& aRequest, Duration aAge, Instant aNow);

  /// Number of stored ids in any state.
  std::size_t Size() const;

  static constexpr Duration kRevokeTransit = std::chrono::seconds(5);

private:
  enum class State : std::uint8_t
  {
    InProgress,
    Ran,
    MayHaveRun,
    Revoked,
  };

  struct Ended
  {
    RequestId mRequest;
    Instant mAt{};
  };

  struct alignas(64) Shard
  {
    mutable std::mutex mMutex;
    absl::flat_hash_map<RequestId, State> mStates;
    std::deque<Ended> mFinished;
    std::deque<Ended> mRevoked;
    Instant mDroppedBefore{}; ///< Older ids may have been dropped.
  };

  static constexpr std::size_t kShards = 64;

  Shard& ShardOf(const RequestId& aRequest);
  void Trim(Shard& aShard, Instant aNow) const;
  static void DropOldest(Shard& aShard, std::deque<Ended>& aQueue);

  const RequestRegisterLimits mLimits;
  std::array<Shard, kShards> mShards;
};

} // namespace foxtailbarrow
