#ifndef BILBERRYLEAD_STORE_FILE_DESCRIPTOR_HPP
#define BILBERRYLEAD_STORE_FILE_DESCRIPTOR_HPP

namespace bilberrylead::store
{

/// Owns an open file of the operating system and closes it.
class file_descriptor
{
public:
    /// Owns nothing.
    file_descriptor() = default;
    /// Takes over an open file; -1 is none.
    explicit file_descriptor(int open_descriptor);
    file_descriptor(file_descriptor&& other) noexcept;
    file_descriptor& operator=(file_descriptor&& other) noexcept;
    file_descriptor(file_descriptor const&) = delete;
    file_descriptor& operator=(file_descriptor const&) = delete;
    ~file_descriptor();

    /// The number that system calls take, -1 if there is none.
    int get() const;
    /// True if a file is open.
    bool is_open() const;

private:
    int descriptor = -1;
};

} // namespace bilberrylead::store

#endif
