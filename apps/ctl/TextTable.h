#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace foxtailbarrow::ctl {

/// Rows of text in aligned columns, separated by two spaces.
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeader);

  /// Missing cells are empty. A row may not have more cells than the header.
  void Add(std::vector<std::string> aRow);

  std::string Text() const;

private:
  std::vector<std::vector<std::string>> mRows;
  std::vector<std::size_t> mWidths;
};

} // namespace foxtailbarrow::ctl
