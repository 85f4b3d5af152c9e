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

/// A customer's key for an operation, the same for all its attempts.
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
  std::size_t mMaxKeys = 65'536;        ///< Keys of ended attempts.
  std::size_t mMaxAnswerBytes = 16'384; ///< Larger answers are not kept.
  std::size_t mMaxBytes = 16'777'216;   ///< Total size of all answers.
  Duration mRetention = std::chrono::minutes(10); ///< From the attempt's end.
};

/// The first attempt, or one after attempts that certainly did not run.
struct AttemptAllowed
{};

/// An earlier attempt is running, ran, or may have run; its answer is not
/// stored.
struct AttemptDuplicate
{
  Verdict mVerdict = Verdict::MayHaveRun;
};

/// The key was used for a different request.
struct AttemptMismatch
{};

/// Revoke() guaranteed that no attempt under this key runs here.
struct AttemptRevoked
{};

/// The stored answer of an earlier attempt.
struct AttemptReplay
{
  std::shared_ptr<const StoredAnswer> mAnswer;
};

/// Result of IdempotencyRegister::Revoke().
struct KeyRevocation
{
  Verdict mVerdict = Verdict::MayHaveRun;
  bool mPromisedBefore = false; ///< An earlier call already returned NotRun.
};

using KeyedAttempt = std::variant<AttemptAllowed,
                                  AttemptDuplicate,
                                  AttemptMismatch,
                                  AttemptRevoked,
                                  AttemptReplay>;

/// Ensures that only one attempt per idempotency key runs on this agent.
///
/// While a key is stored, a second attempt runs only if all earlier ones were
/// NotRun; otherwise the stored answer, if any, is replayed. Keys are stored
/// for `mRetention` after the attempt's end, or until `mMaxKeys` later attempts
/// have ended; after that, an attempt under the key runs. When answers
/// exceed `mMaxBytes`, the oldest are dropped and further attempts under their
/// keys are duplicates. Nothing is kept across a restart of the agent.
class IdempotencyRegister
{
public:
  explicit IdempotencyRegister(IdempotencyLimits aLimits);

  /// `aFingerprint`: hash of the request's method, target and body.
  KeyedAttempt Begin(const IdempotencyKey& aKey,
                     std::uint64_t aFingerprint,
                     Instant aNow);

  /// Ends an allowed attempt. `aAnswer` is stored if it is short enough.
  void Finish(const IdempotencyKey& aKey,
              Verdict aVerdict,
              std::optional<StoredAnswer> aAnswer,
              Instant aNow);

  /// Reports whether an attempt under the key ran or may have run here. After
  /// NotRun, no attempt under the key runs for `mRetention`.
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
