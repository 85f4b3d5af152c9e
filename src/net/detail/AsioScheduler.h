#pragma once

#include <atomic>
#include <chrono>

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include "src/net/detail/Asio.h"

namespace foxtailbarrow::net::detail {

/// Fiber scheduler of one thread with one io_context. Ready fibers run
/// round-robin; when none is ready the thread waits in the io_context.
/// Completion handlers run only in the dispatcher's context, never on a fiber's
/// stack.
class AsioScheduler final : public boost::fibers::algo::algorithm
{
public:
  using TimePoint = std::chrono::steady_clock::time_point;

  explicit AsioScheduler(boost::asio::io_context& aIo)
    : mIo(aIo)
  {
  }

  // NOLINTBEGIN(readability-identifier-naming): names of the base class.
  void awakened(boost::fibers::context* aFiber) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(const TimePoint& aDeadline) noexcept override;
  void notify() noexcept override;
  // NOLINTEND(readability-identifier-naming)

private:
  boost::asio::io_context& mIo;
  boost::fibers::scheduler::ready_queue_type mReady;
  unsigned mRoundsWithoutIo = 0;
  std::atomic<bool> mNotified{ false };
};

} // namespace foxtailbarrow::net::detail
