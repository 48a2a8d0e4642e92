#include <criterion/criterion.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <string>
#include <vector>

// The page is what a change of the design is measured against. A role, a
// limit or a misfit that silently drops out of its tables would look like one
// that fits. Runs in the repository's root.

namespace
{

std::string const page_path = "docs/CAPACITY.md";

std::vector<std::string> page_lines()
{
    std::ifstream page(page_path);
    cr_assert(page.is_open(), "%s is missing", page_path.c_str());
    std::vector<std::string> lines;
    std::string line;
    while (std::getline(page, line))
    {
        lines.push_back(line);
    }
    return lines;
}

bool is_table_row(std::string const& line)
{
    return line.starts_with("| ");
}

/// The rows of the tables below a heading, up to the next heading.
std::vector<std::string> rows_below(std::string const& heading)
{
    std::vector<std::string> rows;
    bool inside = false;
    for (std::string const& line : page_lines())
    {
        if (line.starts_with("#"))
        {
            inside = line == heading;
        }
        else if (inside && is_table_row(line))
        {
            rows.push_back(line);
        }
    }
    return rows;
}

/// True if a row begins with these cells, joined as they stand in the page.
bool any_row_begins(std::vector<std::string> const& rows,
                    std::string const& first_cells)
{
    return std::ranges::any_of(rows,
                               [&first_cells](std::string const& row)
                               {
                                   return row.starts_with("| " + first_cells +
                                                          " |");
                               });
}

void expect_rows(std::string const& heading,
                 std::vector<std::string> const& first_cells)
{
    std::vector<std::string> const rows = rows_below(heading);
    for (std::string const& cell : first_cells)
    {
        cr_expect(any_row_begins(rows, cell), "no row \"%s\" below \"%s\"",
                  cell.c_str(), heading.c_str());
    }
}

} // namespace

Test(capacity_page, each_role_has_its_table_with_every_quantity)
{
    std::vector<std::string> const quantities{
        "state", "messages and bytes", "processor", "memory",
        "disk",  "mechanism",          "margin",
    };
    expect_rows("### Entry host", quantities);
    expect_rows("### Control leader", quantities);
    expect_rows("### Control follower", quantities);
    expect_rows("### Zone relay", quantities);
}

Test(capacity_page, size_and_limits_and_bursts_are_all_named)
{
    // With their values: a softened limit would hide a misfit as well.
    expect_rows(
        "## Size and limits",
        {"nodes | 5,500", "client blocks | 4.1 million", "sites | 810",
         "look-ups | 2 million a second",
         "regions and zones | 12 regions, 24 availability zones",
         "changes | 19,000 a day", "in force | everywhere within 7 s",
         "hosts that fail | 7 a day", "hosts restarted or replaced | 310 a day",
         "rack or switch | one a week",
         "availability zone | one every other month",
         "processor for control | 4.1 % of a core a node",
         "memory for control | 256 MB a node",
         "traffic for control | 5 KB a second a node", "control hosts | 7"});
    expect_rows("## Bursts",
                {"310 restarts in an hour", "a whole zone returns at once",
                 "a change that touches every block",
                 "7 hosts fail in a day, a rack, a zone"});
}

Test(capacity_page, what_does_not_fit_is_said_with_what_has_to_change)
{
    expect_rows("## Does not fit yet",
                {"whole documents", "links to every control host",
                 "one JSON document of all blocks", "look-up median",
                 "snapshot on the event loop", "refresh of subscriptions",
                 "loading a snapshot", "parse for each change",
                 "run-at-most-once records", "heartbeats of the log",
                 "memory of a control host", "memory while a table is built",
                 "start of a blank host", "time until in force"});
}

Test(capacity_page, each_slope_program_is_named_and_each_named_one_exists)
{
    // Named on the page, and thus run by `make slopes`.
    std::set<std::string> named;
    std::regex const program("[a-z]+_slopes");
    for (std::string const& line : page_lines())
    {
        for (std::sregex_iterator it(line.begin(), line.end(), program);
             it != std::sregex_iterator(); ++it)
        {
            named.insert(it->str());
        }
    }

    // There, each in a folder of its own.
    std::set<std::string> present;
    for (std::filesystem::directory_entry const& entry :
         std::filesystem::directory_iterator("performance"))
    {
        std::string const name = entry.path().filename().string();
        if (entry.is_directory() && name.ends_with("_slopes"))
        {
            present.insert(name);
        }
    }

    cr_expect(!present.empty());
    cr_expect(named == present);
}
