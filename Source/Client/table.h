#ifndef RHUBARBHAVEN_CLIENT_TABLE_H_
#define RHUBARBHAVEN_CLIENT_TABLE_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace rhubarbhaven {

// A plain-text table: each column is as wide as its widest cell, and columns
// are two spaces apart.
class Table {
 public:
  explicit Table(std::vector<std::string> headings);
  auto Add(std::vector<std::string> row) -> void;
  auto empty() const -> bool;
  auto Print(std::ostream& out) const -> void;

 private:
  // The first row has the headings.
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace rhubarbhaven

#endif  // RHUBARBHAVEN_CLIENT_TABLE_H_
