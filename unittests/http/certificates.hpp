/// \file
/// A certificate authority made at test time, with its files in a temporary folder.
#pragma once

#include <doctest/doctest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>

namespace ragwortcove::http::test {

using key_pointer = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using certificate_pointer = std::unique_ptr<X509, decltype(&X509_free)>;

/// Folder that is removed at the end of its scope.
class temporary_folder {
public:
    temporary_folder()
    {
        std::string name =
            (std::filesystem::temp_directory_path() / "ragwortcove-tls-XXXXXX").string();
        REQUIRE(::mkdtemp(name.data()) != nullptr);
        this->path = name;
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->path, ignored);
    }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;

    [[nodiscard]] std::string file(const std::string& name) const
    {
        return (this->path / name).string();
    }

private:
    std::filesystem::path path;
};

/// Paths of one certificate and its key.
struct certificate_files {
    std::string certificate;
    std::string private_key;
};

/// Signs certificates for 127.0.0.1 with the common names that the tests ask for.
class certificate_authority {
public:
    certificate_authority(const temporary_folder& folder, const std::string& name)
        : key(EVP_EC_gen("P-256"), EVP_PKEY_free), certificate(nullptr, X509_free)
    {
        this->certificate = make(name, this->key.get(), nullptr, this->key.get(), true);
        this->file = folder.file(name + ".pem");
        write_certificate(this->file, this->certificate.get());
    }

    /// Writes `name`.pem and `name`.key, over older ones.
    [[nodiscard]] certificate_files issue(const temporary_folder& folder, const std::string& name,
                                          const std::string& common_name) const
    {
        const key_pointer own(EVP_EC_gen("P-256"), EVP_PKEY_free);
        const certificate_pointer issued =
            make(common_name, own.get(), this->certificate.get(), this->key.get(), false);
        certificate_files files{folder.file(name + ".pem"), folder.file(name + ".key")};
        write_certificate(files.certificate, issued.get());
        std::FILE* const out = std::fopen(files.private_key.c_str(), "w");
        REQUIRE(PEM_write_PrivateKey(out, own.get(), nullptr, nullptr, 0, nullptr, nullptr) == 1);
        std::fclose(out);
        return files;
    }

    [[nodiscard]] const std::string& authority_file() const { return this->file; }

private:
    static void add_extension(X509* to, int kind, const char* value)
    {
        X509_EXTENSION* const extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
        REQUIRE(extension != nullptr);
        X509_add_ext(to, extension, -1);
        X509_EXTENSION_free(extension);
    }

    static certificate_pointer make(const std::string& common_name, EVP_PKEY* own, X509* issuer,
                                    EVP_PKEY* signer, bool authority)
    {
        constexpr long one_hour_seconds = 3600;
        static long serial = 0;
        certificate_pointer made(X509_new(), X509_free);
        X509_set_version(made.get(), X509_VERSION_3);
        ASN1_INTEGER_set(X509_get_serialNumber(made.get()), ++serial);
        X509_gmtime_adj(X509_getm_notBefore(made.get()), -one_hour_seconds);
        X509_gmtime_adj(X509_getm_notAfter(made.get()), one_hour_seconds);
        X509_NAME* const subject = X509_get_subject_name(made.get());
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_UTF8,
                                   reinterpret_cast<const unsigned char*>(common_name.c_str()), -1,
                                   -1, 0);
        X509_set_issuer_name(made.get(),
                             issuer == nullptr ? subject : X509_get_subject_name(issuer));
        X509_set_pubkey(made.get(), own);
        if (authority)
            add_extension(made.get(), NID_basic_constraints, "critical,CA:TRUE");
        if (!authority)
            add_extension(made.get(), NID_subject_alt_name, "IP:127.0.0.1");
        REQUIRE(X509_sign(made.get(), signer, EVP_sha256()) > 0);
        return made;
    }

    static void write_certificate(const std::string& path, X509* written)
    {
        std::FILE* const out = std::fopen(path.c_str(), "w");
        REQUIRE(out != nullptr);
        REQUIRE(PEM_write_X509(out, written) == 1);
        std::fclose(out);
    }

    key_pointer key;
    certificate_pointer certificate;
    std::string file;
};

} // namespace ragwortcove::http::test
