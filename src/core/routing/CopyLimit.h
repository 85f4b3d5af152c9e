#pragma once

#include <cstdint>
#include <memory>
#include <span>

#include "foxtailbarrow/Id.h"
#include "src/core/routing/RoutingTable.h"

/// Restricts a customer's requests to some of the copies of a backend server
/// when more are serving than its contract allows.
namespace foxtailbarrow {

/// How many copies of a service one customer may use.
struct CopyAllowance
{
  CustomerId mCustomer;
  ServiceId mService;
  std::int32_t mMaxCopies = 0;
};

/// Id of the service in a limited table that holds only the copies that the
/// customer may use.
ServiceId LimitedService(const ServiceId& aService,
                         const CustomerId& aCustomer);

/// Returns the table with an additional service, LimitedService(), for each
/// customer whose allowance is below the number of routable copies. It holds
/// the allowed copies with the smallest ids, so that entries with equal tables
/// choose the same ones. While tables differ, entries may use different copies.
/// Returns `aTable` itself when nothing is limited.
std::shared_ptr<const RoutingTable> LimitCopies(
  std::shared_ptr<const RoutingTable> aTable,
  std::span<const CopyAllowance> aAllowances);

} // namespace foxtailbarrow
