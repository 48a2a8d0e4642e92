#include "bilberrylead/agreement/record_json.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <utility>

namespace bilberrylead::agreement
{

using nlohmann::json;

namespace
{

json write_record(pre_vote_request const& value)
{
    return {{"proposed_term", value.proposed_term},
            {"last_index", value.last_index},
            {"last_term", value.last_term}};
}

void read_into(pre_vote_request& value, record_reader& reader)
{
    value.proposed_term = reader.number("proposed_term");
    value.last_index = reader.number("last_index");
    value.last_term = reader.number("last_term");
}

json write_record(pre_vote_reply const& value)
{
    return {{"proposed_term", value.proposed_term}, {"granted", value.granted}};
}

void read_into(pre_vote_reply& value, record_reader& reader)
{
    value.proposed_term = reader.number("proposed_term");
    value.granted = reader.flag("granted");
}

json write_record(vote_request const& value)
{
    return {{"last_index", value.last_index},
            {"last_term", value.last_term},
            {"handover", value.handover}};
}

void read_into(vote_request& value, record_reader& reader)
{
    value.last_index = reader.number("last_index");
    value.last_term = reader.number("last_term");
    value.handover = reader.flag("handover");
}

json write_record(vote_reply const& value)
{
    return {{"granted", value.granted}};
}

void read_into(vote_reply& value, record_reader& reader)
{
    value.granted = reader.flag("granted");
}

json write_record(append_reply const& value)
{
    json record = {{"round", value.round},
                   {"success", value.success},
                   {"match_index", value.match_index},
                   {"rejected_index", value.rejected_index},
                   {"retry_index", value.retry_index}};
    if (value.commit_index.has_value())
    {
        record["commit_index"] = *value.commit_index;
    }
    return record;
}

void read_into(append_reply& value, record_reader& reader)
{
    value.round = reader.number("round");
    value.success = reader.flag("success");
    value.match_index = reader.number("match_index");
    value.rejected_index = reader.number("rejected_index");
    value.retry_index = reader.number("retry_index");
    value.commit_index = reader.optional_number("commit_index");
}

json write_record(install_snapshot_reply const& value)
{
    return {{"round", value.round},
            {"last_index", value.last_index},
            {"next_offset", value.next_offset},
            {"installed", value.installed}};
}

void read_into(install_snapshot_reply& value, record_reader& reader)
{
    value.round = reader.number("round");
    value.last_index = reader.number("last_index");
    value.next_offset = reader.number("next_offset");
    value.installed = reader.flag("installed");
}

json write_record(timeout_now const&)
{
    return json::object();
}

void read_into(timeout_now&, record_reader&)
{
}

void read_into(append_request& value, record_reader& reader)
{
    value = read_record<append_request>(reader);
}

void read_into(install_snapshot_request& value, record_reader& reader)
{
    value = read_record<install_snapshot_request>(reader);
}

/// Reads the payload as the variant alternative with index Place.
template <std::size_t Place>
message_body read_alternative(record_reader& reader)
{
    std::variant_alternative_t<Place, message_body> value;
    read_into(value, reader);
    return value;
}

using alternative_reader = message_body (*)(record_reader&);

template <std::size_t... Places>
constexpr std::array<alternative_reader, sizeof...(Places)>
make_readers(std::index_sequence<Places...>)
{
    return {&read_alternative<Places>...};
}

constexpr std::array<alternative_reader, std::variant_size_v<message_body>>
    alternative_readers = make_readers(
        std::make_index_sequence<std::variant_size_v<message_body>>());

} // namespace

json write_record(message const& value)
{
    json body = std::visit(
        [](auto const& one)
        {
            return write_record(one);
        },
        value.body);
    return {{"term", value.term},
            {"incarnation", value.incarnation},
            {"kind", value.body.index()},
            {"body", std::move(body)}};
}

template <>
message read_record<message>(record_reader& reader)
{
    message value;
    value.term = reader.number("term");
    value.incarnation = reader.number("incarnation");
    std::uint64_t const kind = reader.number("kind");
    if (kind >= alternative_readers.size())
    {
        reader.fail(error_kind::bad_value,
                    fmt::format("Unknown message kind {}.", kind));
        return value;
    }
    record_reader inner(reader.record("body"), reader);
    value.body = alternative_readers.at(kind)(inner);
    return value;
}

} // namespace bilberrylead::agreement
