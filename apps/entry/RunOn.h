#pragma once

#include <memory>
#include <utility>

#include <boost/fiber/future/promise.hpp>

#include "src/net/FiberRuntime.h"

namespace foxtailbarrow::entry {

/// Runs `aBody` in a fiber of another runtime and suspends the calling fiber
/// until its result is available.
///
/// The other fiber owns the promise, since it may still access the shared state
/// after the caller, on another thread, has resumed.
template<typename Body>
auto RunOn(net::FiberRuntime& aRuntime, Body aBody)
{
  using Result = decltype(aBody());
  auto promise = std::make_shared<boost::fibers::promise<Result>>();
  auto future = promise->get_future();
  aRuntime.Spawn([promise = std::move(promise), &aBody] {
    promise->set_value(std::as_const(aBody)());
  });
  return future.get();
}

} // namespace foxtailbarrow::entry
