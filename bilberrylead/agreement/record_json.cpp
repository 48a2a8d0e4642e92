#include "bilberrylead/agreement/record_json.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <utility>

namespace bilberrylead::agreement
{

namespace
{

using nlohmann::json;

/// Maximum number of members or entries in one record; far above any that is
/// written.
constexpr std::size_t max_list_length = 65536;

template <class Record>
json write_list(std::vector<Record> const& records)
{
    json list = json::array();
    for (Record const& one : records)
    {
        list.push_back(write_record(one));
    }
    return list;
}

template <class Record>
std::vector<Record> read_list(record_reader& reader, char const* name)
{
    json const& list = reader.list(name);
    std::vector<Record> records;
    if (list.size() > max_list_length)
    {
        reader.fail(
            error_kind::bad_value,
            fmt::format("The field {} has {} elements; the maximum is {}.",
                        name, list.size(), max_list_length));
        return records;
    }
    for (json const& one : list)
    {
        record_reader inner(one, reader);
        records.push_back(read_record<Record>(inner));
    }
    return records;
}

} // namespace

json write_record(member const& value)
{
    return {{"host", value.host.text()},
            {"incarnation", value.incarnation},
            {"voter", value.voter},
            {"voter_when_caught_up", value.voter_when_caught_up}};
}

template <>
member read_record<member>(record_reader& reader)
{
    member value;
    value.host = host_id(reader.text("host"));
    value.incarnation = reader.number("incarnation");
    value.voter = reader.flag("voter");
    value.voter_when_caught_up = reader.flag("voter_when_caught_up");
    return value;
}

json write_record(membership const& value)
{
    return {{"members", write_list(value.members)}};
}

template <>
membership read_record<membership>(record_reader& reader)
{
    // Members are added with put, since the order by host is part of the
    // membership's value.
    membership value;
    for (member const& one : read_list<member>(reader, "members"))
    {
        value.put(one);
    }
    return value;
}

json write_record(log_entry const& value)
{
    return {{"term", value.term},
            {"index", value.index},
            {"kind", static_cast<std::uint64_t>(value.kind)},
            {"payload", json::binary(value.payload)}};
}

template <>
log_entry read_record<log_entry>(record_reader& reader)
{
    log_entry value;
    value.term = reader.number("term");
    value.index = reader.number("index");
    std::uint64_t const kind = reader.number("kind");
    if (kind > static_cast<std::uint64_t>(entry_kind::membership))
    {
        reader.fail(error_kind::bad_value,
                    fmt::format("Unknown log entry kind {}.", kind));
    }
    value.kind = static_cast<entry_kind>(kind);
    value.payload = reader.binary("payload");
    return value;
}

json write_record(hard_state const& value)
{
    return {{"term", value.term},
            {"voted_for", value.voted_for.text()},
            {"committed", value.committed}};
}

template <>
hard_state read_record<hard_state>(record_reader& reader)
{
    hard_state value;
    value.term = reader.number("term");
    value.voted_for = host_id(reader.text("voted_for"));
    // Data folders of earlier versions do not contain this field.
    value.committed = reader.number_or("committed", 0);
    return value;
}

json write_record(snapshot const& value)
{
    return {{"last_index", value.last_index},
            {"last_term", value.last_term},
            {"membership", write_record(value.membership)},
            {"state", json::binary(value.state)}};
}

template <>
snapshot read_record<snapshot>(record_reader& reader)
{
    snapshot value;
    value.last_index = reader.number("last_index");
    value.last_term = reader.number("last_term");
    record_reader inner(reader.record("membership"), reader);
    value.membership = read_record<membership>(inner);
    value.state = reader.binary("state");
    return value;
}

json write_record(append_request const& value)
{
    return {{"round", value.round},
            {"previous_index", value.previous_index},
            {"previous_term", value.previous_term},
            {"commit_index", value.commit_index},
            {"entries", write_list(value.entries)}};
}

template <>
append_request read_record<append_request>(record_reader& reader)
{
    append_request value;
    value.round = reader.number("round");
    value.previous_index = reader.number("previous_index");
    value.previous_term = reader.number("previous_term");
    value.commit_index = reader.number("commit_index");
    value.entries = read_list<log_entry>(reader, "entries");
    return value;
}

json write_record(install_snapshot_request const& value)
{
    return {{"round", value.round},
            {"last_index", value.last_index},
            {"last_term", value.last_term},
            {"membership", write_record(value.membership)},
            {"total_size", value.total_size},
            {"offset", value.offset},
            {"chunk", json::binary(value.chunk)}};
}

template <>
install_snapshot_request
read_record<install_snapshot_request>(record_reader& reader)
{
    install_snapshot_request value;
    value.round = reader.number("round");
    value.last_index = reader.number("last_index");
    value.last_term = reader.number("last_term");
    record_reader inner(reader.record("membership"), reader);
    value.membership = read_record<membership>(inner);
    value.total_size = reader.number("total_size");
    value.offset = reader.number("offset");
    value.chunk = reader.binary("chunk");
    return value;
}

} // namespace bilberrylead::agreement
