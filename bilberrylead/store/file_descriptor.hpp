#ifndef BILBERRYLEAD_STORE_FILE_DESCRIPTOR_HPP
#define BILBERRYLEAD_STORE_FILE_DESCRIPTOR_HPP

namespace bilberrylead::store
{

/// Owns a POSIX file descriptor and closes it on destruction.
class file_descriptor
{
public:
    /// Owns no descriptor.
    file_descriptor() = default;
    /// Takes ownership of `open_descriptor`; -1 means none.
    explicit file_descriptor(int open_descriptor);
    file_descriptor(file_descriptor&& other) noexcept;
    file_descriptor& operator=(file_descriptor&& other) noexcept;
    file_descriptor(file_descriptor const&) = delete;
    file_descriptor& operator=(file_descriptor const&) = delete;
    ~file_descriptor();

    /// The descriptor for system calls, -1 if there is none. Stays owned.
    int get() const;
    /// True if a descriptor is owned.
    bool is_open() const;

private:
    int descriptor = -1;
};

} // namespace bilberrylead::store

#endif
