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

constexpr std::uint32_t batch_magic = 0x68426c42;
constexpr std::size_t sequence_offset = 4;
constexpr std::size_t length_offset = 12;
constexpr std::size_t payload_checksum_offset = 20;
constexpr std::size_t header_checksum_offset = 28;
constexpr std::size_t header_size = 36;

constexpr std::size_t record_index_offset = 1;
constexpr std::size_t record_length_offset = 9;
constexpr std::size_t record_header_size = 17;

/// The decoded header of a frame. `length` is that of the payload, bytes.
struct batch_header
{
    std::uint64_t sequence = 0;
    std::uint64_t length = 0;
    std::uint64_t payload_checksum = 0;
};

std::optional<batch_header> read_header(std::uint64_t salt,
                                        std::span<std::uint8_t const> input)
{
    if (input.size() < header_size ||
        read_little_endian<std::uint32_t>(input) != batch_magic ||
        read_little_endian<std::uint64_t>(
            input.subspan(header_checksum_offset)) !=
            XXH64(input.data(), header_checksum_offset, salt))
    {
        return std::nullopt;
    }
    return batch_header{
        read_little_endian<std::uint64_t>(input.subspan(sequence_offset)),
        read_little_endian<std::uint64_t>(input.subspan(length_offset)),
        read_little_endian<std::uint64_t>(
            input.subspan(payload_checksum_offset))};
}

/// True if `input` contains a valid frame header at any offset. The salt in
/// its checksum rules out bytes of older files and record contents that look
/// like a header.
bool contains_header(std::uint64_t salt, std::span<std::uint8_t const> input)
{
    std::array<std::uint8_t, sizeof(batch_magic)> magic{};
    write_little_endian(std::span<std::uint8_t>(magic), batch_magic);
    auto position = input.begin();
    while (true)
    {
        position =
            std::search(position, input.end(), magic.begin(), magic.end());
        if (position == input.end())
        {
            return false;
        }
        if (read_header(salt, {position, input.end()}).has_value())
        {
            return true;
        }
        ++position;
    }
}

absl::Status corrupted_before_end()
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
        if (payload.size() < record_header_size)
        {
            return false;
        }
        std::uint64_t const length = read_little_endian<std::uint64_t>(
            payload.subspan(record_length_offset));
        std::uint8_t const kind = payload[0];
        if (length > payload.size() - record_header_size || kind < 1 ||
            kind > 3)
        {
            return false;
        }
        records.push_back({static_cast<journal_batch::record_kind>(kind),
                           read_little_endian<std::uint64_t>(
                               payload.subspan(record_index_offset)),
                           payload.subspan(record_header_size, length)});
        payload = payload.subspan(record_header_size + length);
    }
    return true;
}

} // namespace

journal_batch::journal_batch() : frame(header_size)
{
}

void journal_batch::add(record_kind kind, std::uint64_t index,
                        std::span<std::uint8_t const> content)
{
    std::array<std::uint8_t, record_header_size> header{};
    std::span<std::uint8_t> const output(header);
    header[0] = static_cast<std::uint8_t>(kind);
    write_little_endian(output.subspan(record_index_offset), index);
    write_little_endian(output.subspan(record_length_offset),
                        std::uint64_t{content.size()});
    this->frame.insert(this->frame.end(), header.begin(), header.end());
    this->frame.insert(this->frame.end(), content.begin(), content.end());
}

bool journal_batch::empty() const
{
    return this->frame.size() == header_size;
}

std::span<std::uint8_t const> journal_batch::seal(std::uint64_t salt,
                                                  std::uint64_t sequence)
{
    std::span<std::uint8_t> const output(this->frame);
    std::uint64_t const length = this->frame.size() - header_size;
    write_little_endian(output, batch_magic);
    write_little_endian(output.subspan(sequence_offset), sequence);
    write_little_endian(output.subspan(length_offset), length);
    write_little_endian(output.subspan(payload_checksum_offset),
                        std::uint64_t{XXH64(this->frame.data() + header_size,
                                            length, sequence)});
    write_little_endian(
        output.subspan(header_checksum_offset),
        std::uint64_t{XXH64(this->frame.data(), header_checksum_offset, salt)});
    return this->frame;
}

void journal_batch::clear()
{
    this->frame.resize(header_size);
}

absl::StatusOr<batch_scan> scan_batches(std::uint64_t salt,
                                        std::span<std::uint8_t const> input)
{
    batch_scan scan;
    while (!input.empty())
    {
        std::optional<batch_header> const header = read_header(salt, input);
        if (!header.has_value())
        {
            // The header itself is damaged. A later header means that this
            // batch was acknowledged; without one it never was.
            if (contains_header(salt, input.subspan(1)))
            {
                return corrupted_before_end();
            }
            break;
        }
        std::uint64_t const available = input.size() - header_size;
        if (header->sequence != scan.batch_count + 1)
        {
            return corrupted_before_end();
        }
        if (header->length > available)
        {
            break;
        }
        std::span<std::uint8_t const> const payload =
            input.subspan(header_size, header->length);
        if (XXH64(payload.data(), payload.size(), header->sequence) !=
            header->payload_checksum)
        {
            // Bytes after a batch are written only once the batch is durable.
            if (header->length < available)
            {
                return corrupted_before_end();
            }
            break;
        }
        if (!read_records(payload, scan.records))
        {
            return corrupted_before_end();
        }
        ++scan.batch_count;
        input = input.subspan(header_size + header->length);
    }
    scan.discarded_bytes = input.size();
    return scan;
}

} // namespace bilberrylead::store
