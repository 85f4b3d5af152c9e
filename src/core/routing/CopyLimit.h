#pragma once

#include <cstdint>
#include <memory>
#include <span>

#include "foxtailbarrow/Id.h"
#include "src/core/routing/RoutingTable.h"

/// Decides which copies of a backend server a customer's requests may use, when
/// more serve than its contract pays for.
namespace foxtailbarrow {

/// How many copies of a service one customer may use.
struct CopyAllowance
{
  CustomerId mCustomer;
  ServiceId mService;
  std::int32_t mMaxCopies = 0;
};

/// Name under which a customer's part of a service stands in a limited table.
ServiceId LimitedService(const ServiceId& aService,
                         const CustomerId& aCustomer);

/// The table with, for each customer whose allowance is below the number of
/// routable copies, a further service of LimitedService() that holds only the
/// allowed ones: those with the least ids, so that every entry with the same
/// table chooses the same. Entries whose tables differ for a moment may use
/// different copies in that moment. Returns `aTable` itself when nothing is
/// limited.
std::shared_ptr<const RoutingTable> LimitCopies(
  std::shared_ptr<const RoutingTable> aTable,
  std::span<const CopyAllowance> aAllowances);

} // namespace foxtailbarrow
