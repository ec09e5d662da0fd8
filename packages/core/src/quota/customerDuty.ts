/** Name of the duty to count a customer's requests for the whole fleet. */
export function customerDuty(customerId: string): string {
  return `customer@${customerId}`;
}
