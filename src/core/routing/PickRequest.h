#pragma once

#include <span>
#include <string_view>

#include "foxtailbarrow/Id.h"

namespace foxtailbarrow {

/// Properties of a request that the pick depends on. Views must outlive the
/// call.
struct PickRequest
{
  ServiceId mService;
  CustomerId mCustomer;
  std::string_view mIdempotencyKey; ///< Empty = none.
  bool mIdempotent = false;

  /// An agent refused the key because it had promised not to run it (NotRun
  /// with Reason::DuplicateRequest).
  bool mKeyRevoked = false;
  std::span<const AgentId> mExcluded; ///< Tried before; never picked again.
};

} // namespace foxtailbarrow
