#pragma once

#include <cstdint>

namespace foxtailbarrow {

/// How a request sent to an agent ended, as far as it tells about the agent.
enum class Outcome : std::uint8_t
{
  Success, ///< A whole answer of the backend server, other than 5xx.
  Failure, ///< No connection, timeout, cut answer, or a 5xx.
  Neutral, ///< Refused for load or limits, or abandoned by the caller.
};

} // namespace foxtailbarrow
