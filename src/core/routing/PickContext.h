#pragma once

#include <algorithm>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Time.h"
#include "src/core/routing/PickRequest.h"
#include "src/core/routing/RoutingTable.h"

namespace foxtailbarrow {

/// Inputs of one pick, as passed to the policies.
struct PickContext
{
  const ServiceTable& mService;
  const PickRequest& mRequest;
  const FailureDomainId& mOwnDomain;
  Instant mNow;

  bool IsExcluded(const RoutableAgent& aAgent) const
  {
    return std::ranges::find(mRequest.mExcluded, aAgent.mAgent) !=
           mRequest.mExcluded.end();
  }
};

} // namespace foxtailbarrow
