#include <Cyclamenstair/Transport/HttpListener.h>

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <httplib.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

namespace cyclamenstair {
namespace {

    /// Writes a self-signed certificate with the given serial number, and its private key.
    void writeIdentity(const std::string& certificatePath, const std::string& keyPath, long serial)
    {
        EVP_PKEY* key = EVP_RSA_gen(2048);
        X509* certificate = X509_new();
        ASN1_INTEGER_set(X509_get_serialNumber(certificate), serial);
        X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
        X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
        X509_set_pubkey(certificate, key);
        X509_NAME_add_entry_by_txt(X509_get_subject_name(certificate), "CN", MBSTRING_ASC,
            reinterpret_cast<const unsigned char*>("localhost"), -1, -1, 0);
        X509_set_issuer_name(certificate, X509_get_subject_name(certificate));
        X509_sign(certificate, key, EVP_sha256());
        FILE* file = std::fopen(certificatePath.c_str(), "w");
        PEM_write_X509(file, certificate);
        std::fclose(file);
        file = std::fopen(keyPath.c_str(), "w");
        PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        X509_free(certificate);
        EVP_PKEY_free(key);
    }

    class Tls : public testing::Test {
    protected:
        void SetUp() override
        {
            char pathTemplate[] = "/tmp/cyclamenstair-tls-XXXXXX";
            ASSERT_NE(::mkdtemp(pathTemplate), nullptr);
            m_directory = pathTemplate;
            m_certificate = m_directory + "/certificate.pem";
            m_key = m_directory + "/key.pem";
            writeIdentity(m_certificate, m_key, 1);
        }

        void TearDown() override { std::filesystem::remove_all(m_directory); }

        HttpListenerSettings settings() const
        {
            HttpListenerSettings settings;
            settings.tlsCertificate = m_certificate;
            settings.tlsKey = m_key;
            return settings;
        }

        /// Returns the serial number of the certificate presented to a new connection; -1 if the request fails.
        static long servedSerial(int port)
        {
            httplib::SSLClient client("127.0.0.1", port);
            client.enable_server_certificate_verification(false);
            const auto response = client.Get("/");
            if (!response)
                return -1;
            return std::stol(response->body);
        }

        std::string m_directory;
        std::string m_certificate;
        std::string m_key;
    };

    TEST_F(Tls, RejectsKeyThatDoesNotBelongToCertificate)
    {
        writeIdentity(m_directory + "/other.pem", m_key, 2);
        HttpListener listener(settings());
        const auto started = listener.start();
        ASSERT_FALSE(started);
        EXPECT_EQ(started.error().peer, m_key);
    }

    TEST_F(Tls, RejectsMissingKeyFile)
    {
        std::filesystem::remove(m_key);
        HttpListener listener(settings());
        EXPECT_FALSE(listener.start());
    }

    // Guards against a reload that leaves the old certificate in use, and against a malformed key file that stops the
    // listener.
    TEST_F(Tls, ServesNewCertificateAfterReload)
    {
        HttpListener listener(settings());
        const auto serial = [](const httplib::Request& request, httplib::Response& response) {
            response.set_content(
                std::to_string(ASN1_INTEGER_get(X509_get_serialNumber(SSL_get_certificate(request.ssl)))),
                "text/plain");
        };
        listener.http().Get("/", serial);
        const int port = listener.start().value();
        EXPECT_EQ(servedSerial(port), 1);
        writeIdentity(m_certificate, m_key, 7);
        EXPECT_FALSE(listener.reloadCertificate());
        EXPECT_EQ(servedSerial(port), 7);
        std::ofstream(m_key) << "damaged";
        EXPECT_TRUE(listener.reloadCertificate());
        EXPECT_EQ(servedSerial(port), 7);
    }

} // namespace
} // namespace cyclamenstair
