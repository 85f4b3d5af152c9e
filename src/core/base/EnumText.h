#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace foxtailbarrow {

/// Maps the values of an enum class to their texts and back.
template<typename Enum, std::size_t Size>
class EnumText
{
public:
  using Row = std::pair<Enum, std::string_view>;

  constexpr explicit EnumText(const Row (&aRows)[Size])
    : mRows(std::to_array(aRows))
  {
  }

  /// "unknown" for a value outside the table.
  constexpr std::string_view Text(Enum aValue) const
  {
    for (const auto& [value, text] : mRows) {
      if (value == aValue) {
        return text;
      }
    }
    return "unknown";
  }

  constexpr std::optional<Enum> Parse(std::string_view aText) const
  {
    for (const auto& [value, text] : mRows) {
      if (text == aText) {
        return value;
      }
    }
    return std::nullopt;
  }

private:
  std::array<Row, Size> mRows;
};

} // namespace foxtailbarrow
