#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "absl/status/statusor.h"

#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Store.h"

namespace foxtailbarrow {

/// The write took effect, at this revision.
struct ContractWritten
{
  Revision mRevision = 0;
};

/// The store already had the same contract; nothing was written.
struct ContractUnchanged
{
  Revision mRevision = 0;
};

/// The stored revision differs from the expected one, because of a concurrent
/// change. 0 = the contract does not exist.
struct ContractConflict
{
  Revision mFound = 0;
};

/// The reply was lost, and the key could not be read back or does not show the
/// write (yet).
struct ContractUnknown
{
  absl::Status mStatus;
};

using ContractOutcome = std::variant<ContractWritten,
                                     ContractUnchanged,
                                     ContractConflict,
                                     ContractUnknown,
                                     absl::Status>;

/// Contracts in the store. Every change is one compare-and-swap on the revision
/// that was read (or expected by the operator). After a lost reply the outcome
/// is determined by reading the key back; nothing is written twice. An
/// absl::Status in the outcome means that nothing was changed.
class ContractRegistry
{
public:
  explicit ContractRegistry(Store& aStore)
    : mStore(aStore)
  {
  }

  /// Every contract, or an error that names the invalid key.
  absl::StatusOr<std::vector<Contract>> List();

  /// NotFound when there is none.
  absl::StatusOr<Contract> Read(const CustomerId& aCustomer);

  ContractOutcome Apply(const Contract& aContract,
                        std::optional<Revision> aExpected);

  /// A status of NotFound when there is nothing to remove.
  ContractOutcome Remove(const CustomerId& aCustomer,
                         std::optional<Revision> aExpected);

private:
  struct StoredContract; ///< Value and revision of a key.

  absl::StatusOr<StoredContract> ReadStored(const std::string& aKey);
  ContractOutcome Write(const StoredContract& aStored,
                        const std::string& aKey,
                        std::optional<std::string> aValue);
  ContractOutcome ResolveByReadingBack(const StoredContract& aStored,
                                       const std::string& aKey,
                                       const std::optional<std::string>& aValue,
                                       const absl::Status& aLost);

  Store& mStore;
};

} // namespace foxtailbarrow
