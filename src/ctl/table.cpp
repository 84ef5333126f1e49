#include "table.h"

#include <algorithm>
#include <sstream>

namespace rhubarbarch::ctl {

namespace {

std::string
cellText(const nlohmann::json& aValue)
{
  return aValue.is_string() ? aValue.get<std::string>() : aValue.dump();
}

std::string
padded(const std::string& aText, std::size_t aWidth)
{
  return aText + std::string(aWidth - std::min(aWidth, aText.size()), ' ');
}

using Row = std::vector<std::string>;

std::string
formatRow(const Row& aRow, const std::vector<std::size_t>& aWidths)
{
  std::string line;
  for (std::size_t column = 0; column < aRow.size(); ++column) {
    const bool last = column + 1 == aRow.size();
    line += last ? aRow[column] : padded(aRow[column], aWidths[column] + 2);
  }
  return line + "\n";
}

} // namespace

std::string
formatTable(const nlohmann::json& aRows, const std::vector<std::string>& aColumns)
{
  std::vector<Row> rows{ aColumns };
  for (const auto& object : aRows) {
    Row row;
    std::ranges::transform(aColumns, std::back_inserter(row), [&](const std::string& aColumn) {
      return object.contains(aColumn) ? cellText(object[aColumn]) : "-";
    });
    rows.push_back(std::move(row));
  }
  std::vector<std::size_t> widths(aColumns.size(), 0);
  for (const auto& row : rows) {
    std::ranges::transform(row, widths, widths.begin(), [](const std::string& aCell, std::size_t aWidth) {
      return std::max(aWidth, aCell.size());
    });
  }
  std::string text;
  std::ranges::for_each(rows, [&](const Row& aRow) { text += formatRow(aRow, widths); });
  return text;
}

std::string
formatFields(const nlohmann::json& aObject)
{
  std::ostringstream text;
  for (const auto& [key, value] : aObject.items()) {
    if (!value.is_structured()) {
      text << key << ": " << cellText(value) << '\n';
    }
  }
  return text.str();
}

} // namespace rhubarbarch::ctl
