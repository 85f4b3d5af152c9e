#include "src/platform/contract/ContractBook.h"

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

struct ContractBook::Held
{
  std::optional<std::string> mValue; ///< No value: the key does not exist.
  Revision mRevision = 0;
};

absl::StatusOr<std::vector<Contract>> ContractBook::List()
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

absl::StatusOr<Contract> ContractBook::Read(const CustomerId& aCustomer)
{
  const absl::StatusOr<StoreEntry> entry = mStore.Read(KeyOf(aCustomer));
  if (!entry.ok()) {
    return entry.status();
  }
  return Decode(*entry);
}

ContractOutcome ContractBook::Apply(const Contract& aContract,
                                    std::optional<Revision> aExpected)
{
  const std::string key = KeyOf(aContract.mCustomer);
  const absl::StatusOr<Held> held = ReadHeld(key);
  if (!held.ok()) {
    return WithVerdict(held.status(), Verdict::NotRun);
  }
  if (aExpected && *aExpected != held->mRevision) {
    return ContractConflict{ held->mRevision };
  }
  std::string value = FormatContract(aContract);
  if (held->mValue == value) {
    return ContractUnchanged{ held->mRevision };
  }
  return Write(*held, key, std::move(value));
}

ContractOutcome ContractBook::Remove(const CustomerId& aCustomer,
                                     std::optional<Revision> aExpected)
{
  const std::string key = KeyOf(aCustomer);
  const absl::StatusOr<Held> held = ReadHeld(key);
  if (!held.ok()) {
    return WithVerdict(held.status(), Verdict::NotRun);
  }
  if (aExpected && *aExpected != held->mRevision) {
    return ContractConflict{ held->mRevision };
  }
  if (!held->mValue) {
    return WithVerdict(absl::NotFoundError("no such contract"),
                       Verdict::NotRun);
  }
  return Write(*held, key, std::nullopt);
}

absl::StatusOr<ContractBook::Held> ContractBook::ReadHeld(
  const std::string& aKey)
{
  const absl::StatusOr<StoreEntry> entry = mStore.Read(aKey);
  if (absl::IsNotFound(entry.status())) {
    return Held{};
  }
  if (!entry.ok()) {
    return entry.status();
  }
  return Held{ entry->mValue, entry->mModRevision };
}

ContractOutcome ContractBook::Write(const Held& aBefore,
                                    const std::string& aKey,
                                    std::optional<std::string> aValue)
{
  const StoreTransaction transaction{ { { aKey, aBefore.mRevision } },
                                      { { aKey, aValue } } };
  const absl::StatusOr<StoreTransactionResult> result =
    mStore.Commit(transaction);
  if (!result.ok()) {
    if (VerdictOf(result.status()) == Verdict::NotRun) {
      return result.status();
    }
    return JudgeByReadingBack(aBefore, aKey, aValue, result.status());
  }
  if (result->mApplied) {
    return ContractWritten{ result->mRevision };
  }
  const absl::StatusOr<Held> now = ReadHeld(aKey);
  return ContractConflict{ now.ok() ? now->mRevision : 0 };
}

ContractOutcome ContractBook::JudgeByReadingBack(
  const Held& aBefore,
  const std::string& aKey,
  const std::optional<std::string>& aValue,
  const absl::Status& aLost)
{
  const absl::StatusOr<Held> now = ReadHeld(aKey);
  if (!now.ok() || now->mRevision == aBefore.mRevision) {
    // A write that does not show may still be on its way.
    return ContractUnknown{ aLost };
  }
  if (now->mValue == aValue) {
    return ContractWritten{ now->mRevision };
  }
  return ContractConflict{ now->mRevision };
}

} // namespace foxtailbarrow
