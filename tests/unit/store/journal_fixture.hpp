#ifndef BILBERRYLEAD_TESTS_STORE_JOURNAL_FIXTURE_HPP
#define BILBERRYLEAD_TESTS_STORE_JOURNAL_FIXTURE_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/store/journal.hpp"
#include "bilberrylead/store/journal_entry.hpp"

#include <criterion/criterion.h>
#include <stdlib.h>

#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bilberrylead::tests
{

inline bytes to_bytes(std::string_view text)
{
    return {text.begin(), text.end()};
}

inline bytes record_content(std::uint64_t index)
{
    return to_bytes("record " + std::to_string(index));
}

/// A temporary parent of a data folder, removed on destruction.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string name = std::filesystem::temp_directory_path() /
                           "bilberrylead-store-XXXXXX";
        cr_assert_not_null(::mkdtemp(name.data()));
        this->parent = name;
    }
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->parent, ignored);
    }

    /// Path of the data folder, which the constructor does not create.
    std::filesystem::path data() const
    {
        return this->parent / "data";
    }

    std::filesystem::path file(char const* name) const
    {
        return this->data() / name;
    }

private:
    std::filesystem::path parent;
};

inline bytes read_all(std::filesystem::path const& path)
{
    std::ifstream input(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(input), {}};
}

inline void write_all(std::filesystem::path const& path, bytes const& content)
{
    std::ofstream output(path, std::ios::binary | std::ios::trunc);
    output.write(reinterpret_cast<char const*>(content.data()),
                 static_cast<std::streamsize>(content.size()));
    cr_assert(output.good());
}

inline store::journal open_journal(temporary_folder const& folder)
{
    absl::StatusOr<store::journal> opened = store::journal::open(folder.data());
    cr_assert(opened.ok(), "%s",
              std::string(opened.status().message()).c_str());
    return *std::move(opened);
}

inline void append_and_sync(store::journal& journal, std::uint64_t first,
                            std::uint64_t last)
{
    for (std::uint64_t index = first; index <= last; ++index)
    {
        cr_assert(journal.append(index, record_content(index)).ok());
    }
    cr_assert(journal.sync().ok());
}

inline std::vector<store::journal_entry> make_entries(std::uint64_t first,
                                                      std::uint64_t last)
{
    std::vector<store::journal_entry> entries;
    for (std::uint64_t index = first; index <= last; ++index)
    {
        entries.push_back({index, record_content(index)});
    }
    return entries;
}

} // namespace bilberrylead::tests

#endif
