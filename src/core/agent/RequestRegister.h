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
  /// Requests that ran, remembered at most.
  std::size_t mMaxFinished = 65'536;
  /// Requests that ran are remembered for this long after their end.
  Duration mFinishedRetention = std::chrono::seconds(60);
  /// Revoked ids, remembered at most; beyond it, Revoke() says MayHaveRun.
  std::size_t mMaxRevoked = 8'192;
  /// Revoked ids stay refused for this long.
  Duration mRevokedRetention = std::chrono::minutes(10);
};

/// How an id that comes in stands.
enum class RequestAdmission : std::uint8_t
{
  Admitted,   ///< Never seen: it may run, and Finish() must follow.
  InProgress, ///< It runs now: refuse, MayHaveRun.
  Finished,   ///< It ran: refuse, MayHaveRun.
  Revoked,    ///< Revoke() said NotRun: refuse, NotRun.
};

/// Remembers which requests this agent admitted, so that its word about each
/// of them stays true.
///
/// Promises: an id is admitted at most once while it is remembered; an id that
/// Revoke() called NotRun is never admitted for `mRevokedRetention`. Revoke()
/// says NotRun only where the register certainly never admitted the id: it
/// keeps the time before which it may have forgotten ids (its own start, and
/// the end of the newest request that it dropped by age or for lack of room),
/// and an unknown id that may be older than that gets MayHaveRun. So a full
/// memory, a restart or a late question costs a retry, never a doubled run.
///
/// An id that ended NotRun is forgotten, so that a caller who was told when to
/// come back may come with the same id. That is safe: the refusal consumed the
/// only copy that was sent here.
///
/// 64 shards, a mutex each; safe for use by any number of threads.
class RequestRegister
{
public:
  /// `aStart`: the process's start; ids sent before it are unknown.
  RequestRegister(RequestRegisterLimits aLimits, Instant aStart);

  RequestAdmission Begin(const RequestId& aRequest, Instant aNow);

  /// Ends what Begin() admitted. `aVerdict` NotRun: it never reached the
  /// backend server.
  void Finish(const RequestId& aRequest, Verdict aVerdict, Instant aNow);

  /// Says whether the request ran, `aAge` after the entry sent it. Where the
  /// answer is NotRun the id is refused from now on. An answer that reaches
  /// the entry more than kRevokeTransit after its question must be discarded
  /// there.
  Verdict Revoke(const RequestId& aRequest, Duration aAge, Instant aNow);

  /// Ids held now, of every kind.
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
    Instant mForgottenBefore{}; ///< See the class comment.
  };

  static constexpr std::size_t kShards = 64;

  Shard& ShardOf(const RequestId& aRequest);
  void Trim(Shard& aShard, Instant aNow) const;
  static void DropOldest(Shard& aShard, std::deque<Ended>& aQueue);

  const RequestRegisterLimits mLimits;
  std::array<Shard, kShards> mShards;
};

} // namespace foxtailbarrow
