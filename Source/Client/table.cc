#include "Client/table.h"

#include <algorithm>
#include <ostream>
#include <utility>

namespace rhubarbhaven {

Table::Table(std::vector<std::string> headings) {
  rows_.push_back(std::move(headings));
}

auto Table::Add(std::vector<std::string> row) -> void {
  row.resize(rows_.front().size());
  rows_.push_back(std::move(row));
}

auto Table::empty() const -> bool {
  return rows_.size() == 1;
}

auto Table::Print(std::ostream& out) const -> void {
  std::vector<std::size_t> widths(rows_.front().size(), 0);
  for (const auto& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows_) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += row[i];
      line.append(widths[i] - row[i].size() + 2, ' ');
    }
    line.erase(line.find_last_not_of(' ') + 1);
    out << line << "\n";
  }
}

}  // namespace rhubarbhaven
