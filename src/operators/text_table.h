#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace jl::operators {

// Columns aligned with spaces, for operators' terminals.
class text_table {
public:
    explicit text_table(std::vector<std::string> titles);
    void add(std::vector<std::string> cells); // as many as there are titles
    void print(std::ostream& output) const;

private:
    std::vector<std::vector<std::string>> rows_; // the titles first
};

} // namespace jl::operators
