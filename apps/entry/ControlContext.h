#pragma once

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Store.h"
#include "src/net/FiberRuntime.h"
#include "src/net/Rpc.h"
#include "src/telemetry/Metrics.h"

namespace foxtailbarrow::entry {

/// Shared by the components of the control thread. They run in fibers of the
/// runtime's single thread, so their state needs no locks: other fibers run
/// only while the current one is suspended.
struct ControlContext
{
  EntryId mSelf;
  net::FiberRuntime& mRuntime; ///< One thread.
  Store& mStore;
  net::RpcClient& mRpc;
  Metrics& mMetrics;
};

} // namespace foxtailbarrow::entry
