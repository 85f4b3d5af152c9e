#pragma once

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// An ejection or readmission by OutlierDetector, to be logged.
struct EjectionEvent
{
  AgentId mAgent;
  Reason mReason = Reason::None; ///< None: readmitted.
  Duration mTime{};              ///< Until the first probe.
};

} // namespace foxtailbarrow
