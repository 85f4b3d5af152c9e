#include "src/net/detail/AsioScheduler.h"

#include <boost/fiber/type.hpp>

namespace foxtailbarrow::net::detail {

namespace {

/// Number of rounds over the ready fibers after which the io_context is polled
/// even though fibers are still ready.
constexpr unsigned kMaxRoundsWithoutIo = 4;

} // namespace

void AsioScheduler::awakened(boost::fibers::context* aFiber) noexcept
{
  aFiber->ready_link(mReady);
}

boost::fibers::context* AsioScheduler::pick_next() noexcept
{
  using boost::fibers::context;
  using boost::fibers::type;

  if (mReady.empty()) {
    return nullptr;
  }
  if (context::active()->is_context(type::dispatcher_context) &&
      ++mRoundsWithoutIo > kMaxRoundsWithoutIo) {
    mRoundsWithoutIo = 0;
    mIo.poll();
  }
  context* next = &mReady.front();
  mReady.pop_front();
  return next;
}

bool AsioScheduler::has_ready_fibers() const noexcept
{
  return !mReady.empty();
}

void AsioScheduler::suspend_until(const TimePoint& aDeadline) noexcept
{
  mRoundsWithoutIo = 0;
  if (aDeadline == TimePoint::max()) {
    mIo.run_one();
    return;
  }
  mIo.run_one_until(aDeadline);
}

void AsioScheduler::notify() noexcept
{
  if (mNotified.exchange(true)) {
    return;
  }
  boost::asio::post(mIo, [this] { mNotified.store(false); });
}

} // namespace foxtailbarrow::net::detail
