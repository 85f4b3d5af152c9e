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
  AlreadyKnown, ///< The same or a newer change of the customer is known.
};

/// Bytes of contracts in one delta. A change is about 300 bytes, so a delta
/// contains about fifty; an agent that starts empty stays within 8 KB/s,
/// averaged over a few seconds.
inline constexpr std::size_t kMaxDeltaBytes = 16'384;

/// Limit of removals kept; beyond it, the oldest are discarded.
inline constexpr std::size_t kMaxRemovals = 10'000;

/// The contracts known to one process at one time: a cheaply copied value that
/// is copied, modified and published as a whole (Snapshot.h).
///
/// Guarantee: each customer's revision only increases, removals included.
class ConfigurationView
{
public:
  /// Null if no contract of the customer is in force.
  const Contract* Find(const CustomerId& aCustomer) const;

  /// The newest known change of the customer, which may be a removal.
  const ContractRecord* Record(const CustomerId& aCustomer) const;

  /// Revision of the newest change; 0 if nothing is known.
  Revision Newest() const;

  /// Number of contracts in force.
  std::size_t Size() const { return mRecords.size() - mRemovals; }

  /// The newest change of each customer, in revision order.
  const std::vector<std::shared_ptr<const ContractRecord>>& ByRevision() const
  {
    return mByRevision;
  }

  /// The revision of the change is `aContract.mRevision`.
  ApplyResult Set(const Contract& aContract);
  ApplyResult Remove(const CustomerId& aCustomer, Revision aRevision);

  /// Removes a contract that is known to be outdated although its newer state
  /// is unknown: any later revision is still accepted.
  void Drop(const CustomerId& aCustomer);

  /// Changes after `aSince` that pass the filter, oldest first. Stops after
  /// about `aMaxBytes`, but never between two changes of the same revision;
  /// mThrough is the last revision covered. Includes the removals of all
  /// customers, since the removed contracts can no longer be filtered.
  ConfigurationDelta ChangesSince(Revision aSince,
                                  const ContractFilter& aFilter,
                                  std::size_t aMaxBytes = kMaxDeltaBytes) const;

  /// Equal in two processes that have the same revisions of the contracts that
  /// pass the filter. Costs one lookup for the service and one for each
  /// customer of the filter.
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
