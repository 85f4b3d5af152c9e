#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"

#include "src/core/contract/ConfigurationDelta.h"
#include "src/core/contract/ContractFilter.h"
#include "src/core/contract/ContractRecord.h"

namespace foxtailbarrow {

enum class ApplyResult : std::uint8_t
{
  Applied,
  AlreadyKnown, ///< This very change, or a newer one of the same customer.
};

/// Bytes of contracts in one delta. A change is about 300 bytes, so a delta
/// holds some fifty; an agent that is filled from nothing stays within 8 KB a
/// second when averaged over a few seconds.
inline constexpr std::size_t kMaxDeltaBytes = 16'384;

/// Removals remembered; the oldest are forgotten beyond this number.
inline constexpr std::size_t kMaxRemovals = 10'000;

/// The contracts that one process knows, as of one moment: a value that is
/// copied, changed and published whole (Snapshot.h), with cheap copies.
///
/// Promise: for each customer the revision only grows, removals included.
class ConfigurationView
{
public:
  /// Null where no contract of the customer is in force.
  const Contract* Find(const CustomerId& aCustomer) const;

  /// The newest change of the customer that is known, a removal included.
  const ContractRecord* Record(const CustomerId& aCustomer) const;

  /// Revision of the newest change; 0 when nothing is known.
  Revision Newest() const;

  /// Contracts in force.
  std::size_t Size() const { return mRecords.size() - mRemovals; }

  /// Changes in the order of their revisions, one a customer.
  const std::vector<std::shared_ptr<const ContractRecord>>& ByRevision() const
  {
    return mByRevision;
  }

  /// `aContract.mRevision` says when.
  ApplyResult Set(const Contract& aContract);
  ApplyResult Remove(const CustomerId& aCustomer, Revision aRevision);

  /// Takes a contract out of force that is known to be outdated, without
  /// knowing its newer state: any later revision is still accepted.
  void Drop(const CustomerId& aCustomer);

  /// What changed after `aSince` and concerns the filter's agent, oldest first.
  /// Stops after about `aMaxBytes`; mThrough then says how far it came, and
  /// never lies between two changes of the same revision. Removals of all
  /// customers are named, since what they concerned is no longer known.
  ConfigurationDelta ChangesSince(Revision aSince,
                                  const ContractFilter& aFilter,
                                  std::size_t aMaxBytes = kMaxDeltaBytes) const;

  /// Equal in two processes when they hold the same revisions of the same
  /// contracts among those that pass the filter. Costs one look-up for the
  /// service and one for each customer of the filter.
  std::uint64_t Digest(const ContractFilter& aFilter) const;

private:
  using Pointer = std::shared_ptr<const ContractRecord>;

  ApplyResult Put(ContractRecord aRecord);
  void Replace(ContractRecord aRecord);
  void Unlink(const ContractRecord& aRecord);
  void Link(Pointer aRecord);
  void ForgetOldRemovals();

  absl::flat_hash_map<CustomerId, Pointer> mRecords;
  std::vector<Pointer> mByRevision;
  absl::flat_hash_map<ServiceId, std::uint64_t> mServiceDigests;
  std::size_t mRemovals = 0;
};

} // namespace foxtailbarrow
