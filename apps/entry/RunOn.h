#pragma once

#include <utility>

#include <boost/fiber/future/promise.hpp>

#include "src/net/FiberRuntime.h"

namespace foxtailbarrow::entry {

/// Runs `aBody` in a fiber of another runtime and suspends the calling fiber
/// until its result is there.
template<typename Body>
auto RunOn(net::FiberRuntime& aRuntime, Body aBody)
{
  using Result = decltype(aBody());
  boost::fibers::promise<Result> promise;
  auto future = promise.get_future();
  aRuntime.Spawn(
    [&promise, &aBody] { promise.set_value(std::as_const(aBody)()); });
  return future.get();
}

} // namespace foxtailbarrow::entry
