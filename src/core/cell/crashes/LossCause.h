#pragma once

#include <cstdint>

namespace foxtailbarrow::cell {

/// Whether it is known why the runs of a worker were lost.
enum class LossCause : std::uint8_t
{
  Known,
  Unexplained,
};

} // namespace foxtailbarrow::cell
