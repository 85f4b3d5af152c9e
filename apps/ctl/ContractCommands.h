#pragma once

#include <optional>
#include <string>

#include "apps/ctl/CommandResult.h"
#include "foxtailbarrow/Contract.h"
#include "foxtailbarrow/Store.h"

/// The subcommands of `contracts`.
namespace foxtailbarrow::ctl {

/// Reads the file and reports every bad field. Touches no store.
CommandResult CheckContractFile(const std::string& aPath);

/// Checks the file, then puts it in force.
CommandResult ApplyContractFile(Store& aStore,
                                const std::string& aPath,
                                std::optional<Revision> aExpected);

/// One contract, or all of them as a table.
CommandResult ShowContracts(Store& aStore,
                            const std::optional<CustomerId>& aCustomer);

CommandResult RemoveContract(Store& aStore,
                             const CustomerId& aCustomer,
                             std::optional<Revision> aExpected);

} // namespace foxtailbarrow::ctl
