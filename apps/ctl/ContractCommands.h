#pragma once

#include <optional>
#include <string>

#include "apps/ctl/CommandResult.h"
#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Store.h"

/// The subcommands of `contracts`.
namespace foxtailbarrow::ctl {

/// Validates the file and reports every invalid field. Accesses no store.
CommandResult CheckContractFile(const std::string& aPath);

/// Validates the file and applies its contract.
CommandResult ApplyContractFile(Store& aStore,
                                const std::string& aPath,
                                std::optional<Revision> aExpected);

/// Shows one contract, or all of them as a table.
CommandResult ShowContracts(Store& aStore,
                            const std::optional<CustomerId>& aCustomer);

CommandResult RemoveContract(Store& aStore,
                             const CustomerId& aCustomer,
                             std::optional<Revision> aExpected);

} // namespace foxtailbarrow::ctl
