#include "operators/text_table.h"

#include <algorithm>

namespace jl::operators {

text_table::text_table(std::vector<std::string> titles)
{
    rows_.push_back(std::move(titles));
}

void text_table::add(std::vector<std::string> cells)
{
    rows_.push_back(std::move(cells));
}

void text_table::print(std::ostream& output) const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const auto& row : rows_) {
        for (std::size_t column = 0; column < widths.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto& row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < widths.size(); ++column) {
            line += row[column];
            line.append(widths[column] - row[column].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        output << line << "\n";
    }
}

} // namespace jl::operators
