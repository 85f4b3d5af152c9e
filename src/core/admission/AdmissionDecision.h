#pragma once

#include <variant>

#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// The request may go on. Tell CustomerAdmission::Finish() when it has ended.
struct Admit
{};

/// The request is given up and did not run: answer the caller now.
struct Refuse
{
  Reason mReason = Reason::Overload;
  Duration mRetryAfter{}; ///< When the caller may try again.
};

using AdmissionDecision = std::variant<Admit, Refuse>;

/// Spreads the returns of refused callers over half as long again. `aJitter` is
/// uniform in 0..1.
Duration WithJitter(Duration aWait, double aJitter);

} // namespace foxtailbarrow
