#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace foxtailbarrow::ctl {

/// Rows of text in aligned columns, two blanks between them.
class TextTable
{
public:
  explicit TextTable(std::vector<std::string> aHeader);

  /// Missing cells are empty; there may not be more than the header has.
  void Add(std::vector<std::string> aRow);

  std::string Text() const;

private:
  std::vector<std::vector<std::string>> mRows;
  std::vector<std::size_t> mWidths;
};

} // namespace foxtailbarrow::ctl
