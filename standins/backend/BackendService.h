#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "foxtailbarrow/Time.h"
#include "src/net/HttpMessage.h"
#include "standins/backend/BackendFaults.h"
#include "standins/backend/ExecutionCounter.h"

namespace foxtailbarrow::standin {

struct BackendSettings
{
  std::int32_t mSlots = 8;
  Duration mService{}; ///< Time of each request, where it names none.
  bool mRecord = true; ///< Count executions by request id.
};

/// A backend server that echoes: runs `mSlots` requests at a time, later ones
/// wait. The service time is that of the settings or, in microseconds, of the
/// request's header Standin-Service-Us. For tests: GET /standin/executions (the
/// totals), GET /standin/executions/ids (`{"runs":{"<id>":n}}`) and POST
/// /standin/faults. Handle() may be called by several fibers and threads.
class BackendService
{
public:
  explicit BackendService(BackendSettings aSettings);

  net::HttpResponse Handle(const net::HttpRequest& aRequest);

  /// /healthz answers 503 from now on.
  void Drain() { mDraining = true; }

private:
  net::HttpResponse Serve(const net::HttpRequest& aRequest);
  net::HttpResponse SetFaults(const net::HttpRequest& aRequest);
  Json::Value ExecutionsJson() const;
  Json::Value IdsJson() const;
  BackendFaults Faults() const;
  void AcquireSlot();
  void ReleaseSlot();

  const BackendSettings mSettings;
  ExecutionCounter mExecutions;
  std::atomic<bool> mDraining{ false };
  std::atomic<std::uint64_t> mServed{ 0 };
  std::atomic<std::int32_t> mPeak{ 0 }; ///< Requests here at a time, at most.
  std::atomic<std::int32_t> mInProgress{ 0 };
  boost::fibers::mutex mSlotMutex; ///< Guards mUsedSlots.
  boost::fibers::condition_variable mSlotFree;
  std::int32_t mUsedSlots = 0;
  mutable std::mutex mFaultMutex; ///< Guards mFaults.
  BackendFaults mFaults;
  std::atomic<bool> mAnyFault{ false };
};

} // namespace foxtailbarrow::standin
