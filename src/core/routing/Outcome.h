#pragma once

#include <cstdint>

namespace foxtailbarrow {

/// How a request sent to an agent ended, with regard to the agent's health.
enum class Outcome : std::uint8_t
{
  Success, ///< A complete response of the backend server, other than 5xx.
  Failure, ///< No connection, timeout, truncated response, or a 5xx.
  Neutral, ///< Refused for load or limits, or abandoned by the caller.
};

} // namespace foxtailbarrow
