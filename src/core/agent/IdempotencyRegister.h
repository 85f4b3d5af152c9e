#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

#include "absl/container/flat_hash_map.h"

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "foxtailbarrow/Verdict.h"
#include "src/core/agent/StoredAnswer.h"

namespace foxtailbarrow {

/// A customer's name for one operation, the same in each of its attempts.
struct IdempotencyKey
{
  CustomerId mCustomer;
  std::string mKey;

  bool operator==(const IdempotencyKey&) const = default;

  template<typename H>
  friend H AbslHashValue(H aState, const IdempotencyKey& aKey)
  {
    return H::combine(std::move(aState), aKey.mCustomer, aKey.mKey);
  }
};

struct IdempotencyLimits
{
  std::size_t mMaxKeys = 65'536;        ///< Of ended attempts.
  std::size_t mMaxAnswerBytes = 16'384; ///< Larger answers are not kept.
  std::size_t mMaxBytes = 16'777'216;   ///< Of all answers together.
  Duration mRetention = std::chrono::minutes(10); ///< From the attempt's end.
};

/// First attempt, or every earlier one certainly did not run.
struct AttemptAllowed
{};

/// An earlier attempt runs, ran, or may have run; its answer is not at hand.
struct AttemptDuplicate
{
  Verdict mVerdict = Verdict::MayHaveRun;
};

/// The key was used for a different request.
struct AttemptMismatch
{};

/// Revoke() promised that no attempt under this key runs here.
struct AttemptRevoked
{};

/// An earlier attempt's answer.
struct AttemptReplay
{
  std::shared_ptr<const StoredAnswer> mAnswer;
};

/// Answer of IdempotencyRegister::Revoke().
struct KeyRevocation
{
  Verdict mVerdict = Verdict::MayHaveRun;
  bool mPromisedBefore = false; ///< NotRun, as an earlier answer said already.
};

using KeyedAttempt = std::variant<AttemptAllowed,
                                  AttemptDuplicate,
                                  AttemptMismatch,
                                  AttemptRevoked,
                                  AttemptReplay>;

/// Lets one attempt under an idempotency key run on this agent.
///
/// Promises: while a key is remembered, a second attempt runs only after the
/// earlier ones were NotRun; a short answer is replayed. Keys are remembered
/// for `mRetention` after the attempt's end, fewer when more than `mMaxKeys`
/// ended since; an attempt under a forgotten key runs. When answers hold more
/// than `mMaxBytes` the oldest answers go, and their keys then give a
/// duplicate. Nothing is known after a restart of the agent.
class IdempotencyRegister
{
public:
  explicit IdempotencyRegister(IdempotencyLimits aLimits);

  /// `aFingerprint`: hash of the request's method, target and body.
  KeyedAttempt Begin(const IdempotencyKey& aKey,
                     std::uint64_t aFingerprint,
                     Instant aNow);

  /// Ends an allowed attempt. `aAnswer` is kept when it is short enough.
  void Finish(const IdempotencyKey& aKey,
              Verdict aVerdict,
              std::optional<StoredAnswer> aAnswer,
              Instant aNow);

  /// Whether an attempt under the key runs, ran or may have run here. Where the
  /// answer is NotRun, none runs from now on, for `mRetention`.
  KeyRevocation Revoke(const IdempotencyKey& aKey, Instant aNow);

  std::size_t Size() const;

private:
  struct Record
  {
    std::uint64_t mFingerprint = 0;
    bool mInProgress = true;
    bool mRevoked = false;
    Verdict mVerdict = Verdict::MayHaveRun;
    std::shared_ptr<const StoredAnswer> mAnswer;
  };

  struct Ended
  {
    IdempotencyKey mKey;
    Instant mAt{};
  };

  void Trim(Instant aNow);
  void DropOldestKey();
  void DropOldestAnswer();

  const IdempotencyLimits mLimits;
  mutable std::mutex mMutex;
  absl::flat_hash_map<IdempotencyKey, Record> mRecords;
  std::deque<Ended> mEnded;
  std::deque<IdempotencyKey> mWithAnswer; ///< Oldest first.
  std::size_t mBytes = 0;
};

} // namespace foxtailbarrow
