#include "bilberrylead/store/journal_batch.hpp"

#include "bilberrylead/core/error.hpp"
#include "bilberrylead/store/little_endian.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <optional>

namespace bilberrylead::store
{

namespace
{

constexpr std::uint32_t batch_mark = 0x68426c42;
constexpr std::size_t sequence_at = 4;
constexpr std::size_t length_at = 12;
constexpr std::size_t payload_checksum_at = 20;
constexpr std::size_t head_checksum_at = 28;
constexpr std::size_t head_size = 36;

constexpr std::size_t record_index_at = 1;
constexpr std::size_t record_length_at = 9;
constexpr std::size_t record_head_size = 17;

/// The head of a frame.
struct batch_head
{
    std::uint64_t sequence = 0;
    std::uint64_t length = 0;
    std::uint64_t payload_checksum = 0;
};

std::optional<batch_head> read_head(std::uint64_t salt,
                                    std::span<std::uint8_t const> input)
{
    if (input.size() < head_size ||
        get_number<std::uint32_t>(input) != batch_mark ||
        get_number<std::uint64_t>(input.subspan(head_checksum_at)) !=
            XXH64(input.data(), head_checksum_at, salt))
    {
        return std::nullopt;
    }
    return batch_head{
        get_number<std::uint64_t>(input.subspan(sequence_at)),
        get_number<std::uint64_t>(input.subspan(length_at)),
        get_number<std::uint64_t>(input.subspan(payload_checksum_at))};
}

/// True if a frame's head stands anywhere in `input`. The salt keeps out
/// bytes of older files and of records that look like a head.
bool holds_head(std::uint64_t salt, std::span<std::uint8_t const> input)
{
    std::array<std::uint8_t, sizeof(batch_mark)> mark{};
    put_number(std::span<std::uint8_t>(mark), batch_mark);
    auto position = input.begin();
    while (true)
    {
        position = std::search(position, input.end(), mark.begin(), mark.end());
        if (position == input.end())
        {
            return false;
        }
        if (read_head(salt, {position, input.end()}).has_value())
        {
            return true;
        }
        ++position;
    }
}

absl::Status damaged_middle()
{
    return make_error(
        error_kind::corrupt,
        "The journal is damaged before its end: records that were "
        "acknowledged are lost.",
        "Move the data folder away and let this host rejoin empty.");
}

bool read_records(std::span<std::uint8_t const> payload,
                  std::vector<journal_record>& records)
{
    while (!payload.empty())
    {
        if (payload.size() < record_head_size)
        {
            return false;
        }
        std::uint64_t const length =
            get_number<std::uint64_t>(payload.subspan(record_length_at));
        std::uint8_t const kind = payload[0];
        if (length > payload.size() - record_head_size || kind < 1 || kind > 3)
        {
            return false;
        }
        records.push_back(
            {static_cast<journal_batch::record_kind>(kind),
             get_number<std::uint64_t>(payload.subspan(record_index_at)),
             payload.subspan(record_head_size, length)});
        payload = payload.subspan(record_head_size + length);
    }
    return true;
}

} // namespace

journal_batch::journal_batch() : frame(head_size)
{
}

void journal_batch::add(record_kind kind, std::uint64_t index,
                        std::span<std::uint8_t const> content)
{
    std::array<std::uint8_t, record_head_size> head{};
    std::span<std::uint8_t> const output(head);
    head[0] = static_cast<std::uint8_t>(kind);
    put_number(output.subspan(record_index_at), index);
    put_number(output.subspan(record_length_at), std::uint64_t{content.size()});
    this->frame.insert(this->frame.end(), head.begin(), head.end());
    this->frame.insert(this->frame.end(), content.begin(), content.end());
}

bool journal_batch::empty() const
{
    return this->frame.size() == head_size;
}

std::span<std::uint8_t const> journal_batch::seal(std::uint64_t salt,
                                                  std::uint64_t sequence)
{
    std::span<std::uint8_t> const output(this->frame);
    std::uint64_t const length = this->frame.size() - head_size;
    put_number(output, batch_mark);
    put_number(output.subspan(sequence_at), sequence);
    put_number(output.subspan(length_at), length);
    put_number(
        output.subspan(payload_checksum_at),
        std::uint64_t{XXH64(this->frame.data() + head_size, length, sequence)});
    put_number(
        output.subspan(head_checksum_at),
        std::uint64_t{XXH64(this->frame.data(), head_checksum_at, salt)});
    return this->frame;
}

void journal_batch::clear()
{
    this->frame.resize(head_size);
}

absl::StatusOr<batch_scan> scan_batches(std::uint64_t salt,
                                        std::span<std::uint8_t const> input)
{
    batch_scan scan;
    while (!input.empty())
    {
        std::optional<batch_head> const head = read_head(salt, input);
        if (!head.has_value())
        {
            // The head itself is lost. Unless a later batch was begun, this
            // one was never acknowledged.
            if (holds_head(salt, input.subspan(1)))
            {
                return damaged_middle();
            }
            break;
        }
        std::uint64_t const available = input.size() - head_size;
        if (head->sequence != scan.batches + 1)
        {
            return damaged_middle();
        }
        if (head->length > available)
        {
            break;
        }
        std::span<std::uint8_t const> const payload =
            input.subspan(head_size, head->length);
        if (XXH64(payload.data(), payload.size(), head->sequence) !=
            head->payload_checksum)
        {
            // Bytes after a batch were written once it was durable.
            if (head->length < available)
            {
                return damaged_middle();
            }
            break;
        }
        if (!read_records(payload, scan.records))
        {
            return damaged_middle();
        }
        ++scan.batches;
        input = input.subspan(head_size + head->length);
    }
    scan.cut_bytes = input.size();
    return scan;
}

} // namespace bilberrylead::store
