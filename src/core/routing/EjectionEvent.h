#pragma once

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Reason.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow {

/// A change made by OutlierDetector, worth a line in the log.
struct EjectionEvent
{
  AgentId mAgent;
  Reason mReason = Reason::None; ///< None: readmitted.
  Duration mTime{};              ///< Until the first probe.
};

} // namespace foxtailbarrow
