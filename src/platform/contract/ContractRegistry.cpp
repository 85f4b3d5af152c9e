#include "src/platform/contract/ContractRegistry.h"

#include <string>
#include <utility>

#include "absl/strings/str_cat.h"

#include "foxtailbarrow/Verdict.h"
#include "src/core/contract/ContractDocument.h"

namespace foxtailbarrow {

namespace {

constexpr char kPrefix[] = "/foxtailbarrow/contracts/";

std::string KeyOf(const CustomerId& aCustomer)
{
  return kPrefix + aCustomer.Value();
}

absl::StatusOr<Contract> Decode(const StoreEntry& aEntry)
{
  absl::StatusOr<Contract> contract = ParseContract(aEntry.mValue);
  if (!contract.ok()) {
    return absl::DataLossError(
      absl::StrCat(aEntry.mKey, ": ", contract.status().message()));
  }
  contract->mRevision = aEntry.mModRevision;
  return contract;
}

} // namespace

struct ContractRegistry::StoredContract
{
  std::optional<std::string> mValue; ///< No value: the key does not exist.
  Revision mRevision = 0;
};

absl::StatusOr<std::vector<Contract>> ContractRegistry::List()
{
  const absl::StatusOr<StoreListing> listing = mStore.List(kPrefix);
  if (!listing.ok()) {
    return listing.status();
  }
  std::vector<Contract> contracts;
  for (const StoreEntry& entry : listing->mEntries) {
    absl::StatusOr<Contract> contract = Decode(entry);
    if (!contract.ok()) {
      return contract.status();
    }
    contracts.push_back(*std::move(contract));
  }
  return contracts;
}

absl::StatusOr<Contract> ContractRegistry::Read(const CustomerId& aCustomer)
{
  const absl::StatusOr<StoreEntry> entry = mStore.Read(KeyOf(aCustomer));
  if (!entry.ok()) {
    return entry.status();
  }
  return Decode(*entry);
}

ContractOutcome ContractRegistry::Apply(const Contract& aContract,
                                        std::optional<Revision> aExpected)
{
  const std::string key = KeyOf(aContract.mCustomer);
  const absl::StatusOr<StoredContract> stored = ReadStored(key);
  if (!stored.ok()) {
    return WithVerdict(stored.status(), Verdict::NotRun);
  }
  if (aExpected && *aExpected != stored->mRevision) {
    return ContractConflict{ stored->mRevision };
  }
  std::string value = FormatContract(aContract);
  if (stored->mValue == value) {
    return ContractUnchanged{ stored->mRevision };
  }
  return Write(*stored, key, std::move(value));
}

ContractOutcome ContractRegistry::Remove(const CustomerId& aCustomer,
                                         std::optional<Revision> aExpected)
{
  const std::string key = KeyOf(aCustomer);
  const absl::StatusOr<StoredContract> stored = ReadStored(key);
  if (!stored.ok()) {
    return WithVerdict(stored.status(), Verdict::NotRun);
  }
  if (aExpected && *aExpected != stored->mRevision) {
    return ContractConflict{ stored->mRevision };
  }
  if (!stored->mValue) {
    return WithVerdict(absl::NotFoundError("no such contract"),
                       Verdict::NotRun);
  }
  return Write(*stored, key, std::nullopt);
}

absl::StatusOr<ContractRegistry::StoredContract> ContractRegistry::ReadStored(
  const std::string& aKey)
{
  const absl::StatusOr<StoreEntry> entry = mStore.Read(aKey);
  if (absl::IsNotFound(entry.status())) {
    return StoredContract{};
  }
  if (!entry.ok()) {
    return entry.status();
  }
  return StoredContract{ entry->mValue, entry->mModRevision };
}

ContractOutcome ContractRegistry::Write(const StoredContract& aStored,
                                        const std::string& aKey,
                                        std::optional<std::string> aValue)
{
  const StoreTransaction transaction{ { { aKey, aStored.mRevision } },
                                      { { aKey, aValue } } };
  const absl::StatusOr<StoreTransactionResult> result =
    mStore.Commit(transaction);
  if (!result.ok()) {
    if (VerdictOf(result.status()) == Verdict::NotRun) {
      return result.status();
    }
    return ResolveByReadingBack(aStored, aKey, aValue, result.status());
  }
  if (result->mApplied) {
    return ContractWritten{ result->mRevision };
  }
  const absl::StatusOr<StoredContract> now = ReadStored(aKey);
  return ContractConflict{ now.ok() ? now->mRevision : 0 };
}

ContractOutcome ContractRegistry::ResolveByReadingBack(
  const StoredContract& aStored,
  const std::string& aKey,
  const std::optional<std::string>& aValue,
  const absl::Status& aLost)
{
  const absl::StatusOr<StoredContract> now = ReadStored(aKey);
  if (!now.ok() || now->mRevision == aStored.mRevision) {
    // A write that is not visible may still be in flight.
    return ContractUnknown{ aLost };
  }
  if (now->mValue == aValue) {
    return ContractWritten{ now->mRevision };
  }
  return ContractConflict{ now->mRevision };
}

} // namespace foxtailbarrow
