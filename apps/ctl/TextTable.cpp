#include "apps/ctl/TextTable.h"

#include <algorithm>
#include <utility>

namespace foxtailbarrow::ctl {

namespace {

constexpr std::size_t kColumnGap = 2;

} // namespace

TextTable::TextTable(std::vector<std::string> aHeader)
  : mWidths(aHeader.size(), 0)
{
  Add(std::move(aHeader));
}

void TextTable::Add(std::vector<std::string> aRow)
{
  aRow.resize(mWidths.size());
  for (std::size_t i = 0; i < aRow.size(); ++i) {
    mWidths[i] = std::max(mWidths[i], aRow[i].size());
  }
  mRows.push_back(std::move(aRow));
}

std::string TextTable::Text() const
{
  std::string text;
  for (const std::vector<std::string>& row : mRows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(mWidths[i] - row[i].size() + kColumnGap, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

} // namespace foxtailbarrow::ctl
