#pragma once

#include <variant>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// The request may proceed. Call CustomerAdmission::Finish() when it has ended.
struct Admit
{};

/// The request is refused and did not run: answer the caller now.
struct Refuse
{
  Reason mReason = Reason::Overload;
  Duration mRetryAfter{}; ///< Delay before the caller may retry.
};

using AdmissionDecision = std::variant<Admit, Refuse>;

/// Adds up to 50% to `aWait`, so that callers refused at the same time do not
/// retry at the same time. `aJitter` is uniform in 0..1.
Duration WithJitter(Duration aWait, double aJitter);

} // namespace foxtailbarrow
